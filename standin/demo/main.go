// Command demo is a placeholder.
package main

func main() {}

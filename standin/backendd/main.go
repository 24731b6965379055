// Command backendd is a placeholder.
package main

func main() {}

// Command loadgen is a placeholder.
package main

func main() {}

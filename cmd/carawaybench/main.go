// Command carawaybench is a placeholder.
package main

func main() {}

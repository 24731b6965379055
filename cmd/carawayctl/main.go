// Command carawayctl is a placeholder.
package main

func main() {}

// Command carawayhold is a placeholder.
package main

func main() {}

// Command platformd is a placeholder.
package main

func main() {}

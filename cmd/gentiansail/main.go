// Command gentiansail is the router's one program: control replica, node,
// operator commands and load tool.
package main

func main() {}

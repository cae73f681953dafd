// Command hornbeamlift dispatches short tasks from callers to endpoints.
package main

func main() {}

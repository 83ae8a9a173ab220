// Command buckthorntide schedules agent programs over model engines and plain
// services.
package main

func main() {}

// Command admission shows the limiter on its own: a request of the first class overtakes one that waited longer.
package main

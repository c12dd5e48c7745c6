// Command leaf-standin runs one emulated leaf that announces itself to entries, for experiments and as an example of the leaf
// protocol.
package main

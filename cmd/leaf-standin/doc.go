// Command leaf-standin runs one backend server that announces itself, for trials and as an example of the leaf protocol.
package main

// Package samphirepass is the public face of a query tier over many shards: ids, units, messages and the interfaces whose behaviour varies.
package samphirepass

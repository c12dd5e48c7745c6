// Package relay lets a gateway that reaches no leaf pass the requests of its clients to another gateway that does. A request is passed on
// once at most: the other gateway delivers it to leaves or refuses it.
package relay

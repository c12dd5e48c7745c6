// Package gateway answers clients' requests by the routing document: it finds the route of a request, selects a service or all
// shards, has the request delivered to leaves and merges their replies.
package gateway

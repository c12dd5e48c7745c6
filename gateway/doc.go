// Package gateway answers clients' requests by the routes in force: it finds the route, draws a service or takes all shards,
// has the request delivered to leaves and merges what they answer.
package gateway

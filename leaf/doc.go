// Package leaf finds backend servers by their announcements, keeps connections to them and gathers their answers.
package leaf

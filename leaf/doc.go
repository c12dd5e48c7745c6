// Package leaf tracks backend servers by their announcements, pools connections to them, sends them requests and
// gathers their replies.
package leaf

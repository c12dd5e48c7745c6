// Package leaf tracks backend servers by their announcements, pools connections to them, sends them requests and
// gathers their replies. The process that does so is called an entry here, also where it is a gateway.
package leaf

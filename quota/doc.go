// Package quota keeps rates that all gateways share. Registrars issue tokens, each from its own part of a limit, and gateways ask for them; no
// process decides for all. Issuer, Membership and Wallet decide without sockets or clocks, Server and Client drive them.
package quota

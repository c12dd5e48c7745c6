// Command admission demonstrates the admission limiter: queued requests are admitted by class, not in the order of arrival.
package main

package samphirepass

// ClientStats says what the clients of a process hold.
type ClientStats struct {
	// Bytes is the memory that connections, requests and answers hold, MessageBytes that of messages of other processes.
	Bytes, MessageBytes int64
	Connections         int
	// Refused counts clients by what they exceeded, Evicted those that gave way to others by what they did.
	Refused, Evicted map[string]int64
}

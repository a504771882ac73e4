package reconnect

import "time"

const (
	listSilence = 2200 * time.Millisecond // without even an empty event, which comes each second
	listSpread  = 800 * time.Millisecond  // beyond that, by chance
	listDial    = time.Second
	listFirst   = 200 * time.Millisecond // within which the list's service is asked again, doubled by each failure
	listMost    = 500 * time.Millisecond
)

// The chance that the functions below take is a number from 0 to below 1, drawn anew each time. It spreads what
// hundreds of front ends do when one service breaks off, moves or falls silent for all of them at once, which else
// come back to it in one instant. It costs each of them a part of a second without news.

// ListSilence is after how long without a word the connection on which the list of workers comes is made anew. It
// guards against a service that has stopped and left its connections open.
func WatchSilenceTimeout(chance float64) time.Duration { return listSilence + part(listSpread, chance) }

// ListDial is how long a connection to that service may take.
func WatchDialTimeout() time.Duration { return listDial }

// ListAgain is how long to wait before that service is asked again after so many failures in a row: after a
// connection that had told something, or when the service has moved, there is none. The waits are those of "full
// jitter", later ones half of that (M. Brooker, "Exponential Backoff And Jitter", 2015).
func WatchRetryDelay(failures int, chance float64) time.Duration {
	if failures < 2 {
		return part(listFirst, chance)
	}
	span := min(listMost, listFirst<<min(failures-1, 10))
	return span/2 + part(span/2, chance)
}

func part(span time.Duration, chance float64) time.Duration {
	return time.Duration(chance * float64(span))
}

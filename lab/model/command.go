package model

import (
	"fmt"
	"strconv"
	"strings"
)

// Commands names the commands that Command takes, each with its argument.
const Commands = "die | start | drain on|off | hang on|off | pause on|off | slow FACTOR | fail SHARE | flush [FUNCTION] | re-release SHARE SALT"

// Command makes the worker's process misbehave, or behave again. known tells whether it is a command of the
// process; the others are the socket's.
func (w *Worker) Command(line string) (known bool, err error) {
	verb, argument, _ := strings.Cut(strings.TrimSpace(line), " ")
	argument = strings.TrimSpace(argument)
	switch verb {
	case "die":
		w.Crash()
	case "start":
		w.Start()
	case "flush":
		w.InvalidateReplicas(argument)
	case "re-release":
		share, salt, _ := strings.Cut(argument, " ")
		x, err := strconv.ParseFloat(share, 64)
		if err != nil || !(x >= 0 && x <= 1) {
			return true, fmt.Errorf("%q is no share", share)
		}
		w.InvalidateShare(x, salt)
	case "slow", "fail":
		x, err := strconv.ParseFloat(argument, 64)
		if err != nil || x < 0 {
			return true, fmt.Errorf("%q is no factor or share", argument)
		}
		if verb == "slow" {
			w.SetSlowdown(x)
		} else {
			w.SetFailureShare(x)
		}
	case "drain", "hang", "pause":
		if argument != "on" && argument != "off" {
			return true, fmt.Errorf("%q is neither on nor off", argument)
		}
		map[string]func(bool){"drain": w.SetDraining, "hang": w.SetHung, "pause": w.SetPaused}[verb](argument == "on")
	default:
		return false, nil
	}
	return true, nil
}

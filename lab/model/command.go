package model

import (
	"fmt"
	"strconv"
	"strings"
)

// Commands lists the commands that Command accepts, with their arguments.
const Commands = "die | start | drain on|off | hang on|off | pause on|off | slow FACTOR | fail SHARE | flush [FUNCTION] | re-release SHARE SALT"

// Command executes a command that injects a fault into the worker's process or ends one. known is false for a command
// that does not apply to the process; the caller may know it as a command for the worker's socket.
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
		return true, w.applyReRelease(argument)
	case "slow":
		return true, applyNumber(argument, w.SetSlowdown)
	case "fail":
		return true, applyNumber(argument, w.SetFailureShare)
	case "drain":
		return true, applySwitch(argument, w.SetDraining)
	case "hang":
		return true, applySwitch(argument, w.SetHung)
	case "pause":
		return true, applySwitch(argument, w.SetPaused)
	default:
		return false, nil
	}
	return true, nil
}

// applyReRelease executes the re-release command, whose argument is "SHARE SALT".
func (w *Worker) applyReRelease(argument string) error {
	text, salt, _ := strings.Cut(argument, " ")
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || !(share >= 0 && share <= 1) {
		return fmt.Errorf("%q is not a share from 0 to 1", text)
	}
	w.InvalidateShare(share, salt)
	return nil
}

func applyNumber(argument string, set func(float64)) error {
	x, err := strconv.ParseFloat(argument, 64)
	if err != nil || x < 0 {
		return fmt.Errorf("%q is not a factor or share of at least 0", argument)
	}
	set(x)
	return nil
}

func applySwitch(argument string, set func(bool)) error {
	if argument != "on" && argument != "off" {
		return fmt.Errorf("%q is neither on nor off", argument)
	}
	set(argument == "on")
	return nil
}

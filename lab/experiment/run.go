package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"strings"
	"sync"

	"havencart/lab/simulation"
)

// Cell is one run: a variant on a day with a seed.
type Cell struct {
	Variant  string
	Scenario string
	Seed     uint64
	Key      string // of all that the run depends on
	Failed   string // why the variant could not be played to its end
	Result   simulation.Result
}

// Void is why the run counts for nothing, empty where it counts.
func (c *Cell) InvalidReason() string {
	switch r := &c.Result; {
	case c.Failed != "":
		return "failed: " + c.Failed
	case len(r.Violations) > 0:
		return fmt.Sprintf("broke rule %s (%d times): %s", r.Violations[0].Rule, len(r.Violations), r.Violations[0].What)
	case !r.Tally.Balanced():
		return fmt.Sprintf("does not account for all calls: %v", r.Tally)
	}
	return ""
}

// Service is what the run counts.
func (c *Cell) Service() float64 {
	if c.InvalidReason() != "" {
		return 0
	}
	return c.Result.Score.Service()
}

// Run plays all cells that results does not have yet, several at a time, and appends each to that file as it
// ends: a run that was killed goes on where it stood. tell is told how it goes.
func (s *Spec) Run(ctx context.Context, results string, parallel int, tell func(string)) ([]Cell, error) {
	known, err := readResults(results)
	if err != nil {
		return nil, err
	}
	out, err := os.OpenFile(results, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer out.Close()
	cells := s.cells()
	var todo []*Cell
	for i := range cells {
		if old, done := known[cells[i].Key]; done {
			cells[i] = old
		} else {
			todo = append(todo, &cells[i])
		}
	}
	tell(fmt.Sprintf("%d runs, %d of them known from %s", len(cells), len(cells)-len(todo), results))
	if err := s.runCells(ctx, todo, out, parallel, tell); err != nil {
		return nil, err
	}
	return cells, ctx.Err()
}

// play plays cells, several at a time.
func (s *Spec) runCells(ctx context.Context, todo []*Cell, out *os.File, parallel int, tell func(string)) error {
	var tasks sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	next := make(chan *Cell)
	for range parallel {
		tasks.Go(func() {
			for c := range next {
				s.runCell(ctx, c)
				mu.Lock()
				if ctx.Err() == nil {
					line, err := json.Marshal(c)
					if err == nil {
						_, err = out.Write(append(line, '\n'))
					}
					firstErr = errors.Join(firstErr, err)
					tell(fmt.Sprintf("%-12s %-12s seed %d: %.3f %s", c.Variant, c.Scenario, c.Seed, c.Service(), c.Failed))
				}
				mu.Unlock()
			}
		})
	}
	for _, c := range todo {
		select {
		case next <- c:
			continue
		case <-ctx.Done():
		}
		break
	}
	close(next)
	tasks.Wait()
	return firstErr
}

// cells lists all runs, variants of one day and seed side by side.
func (s *Spec) cells() (list []Cell) {
	programs := map[string]uint64{}
	for _, v := range s.Variants {
		if _, known := programs[v.Program]; !known {
			programs[v.Program] = fingerprint(v.Program)
		}
	}
	for _, d := range s.Scenarios {
		for i := range s.Seeds {
			for _, v := range s.Variants {
				seed := uint64(s.FirstSeed + i)
				list = append(list, Cell{Variant: v.Name, Scenario: d.Name, Seed: seed, Key: s.key(v, d, seed, programs[v.Program])})
			}
		}
	}
	return list
}

// one plays one cell, here or by another program. A variant that fails is told, and the others go on.
func (s *Spec) runCell(ctx context.Context, c *Cell) {
	v, d := s.find(c.Variant, c.Scenario)
	if v.Program == "" {
		c.Result, c.Failed = runHere(s.config(v, d, c.Seed))
		return
	}
	out, err := exec.CommandContext(ctx, v.Program, "cell", s.Path, c.Variant, c.Scenario, fmt.Sprint(c.Seed)).Output()
	var stored StoredResult
	if err == nil {
		err = json.Unmarshal(out, &stored)
	}
	c.Result = stored.Result()
	if err != nil {
		c.Failed = err.Error()
	}
}

// here plays a run in this process; a panic of the variant is its failure.
func runHere(cfg simulation.Config) (r simulation.Result, failed string) {
	defer func() {
		if trouble := recover(); trouble != nil {
			failed = fmt.Sprint("panic: ", trouble)
		}
	}()
	r, err := simulation.Run(cfg)
	if err != nil {
		return r, err.Error()
	}
	return r, ""
}

// Play plays one cell by name: what another program is asked for. It returns the result as that program writes it.
func (s *Spec) Play(variant, day string, seed uint64) (StoredResult, error) {
	v, d := s.find(variant, day)
	if v.Name == "" || d.Name == "" {
		return StoredResult{}, fmt.Errorf("%w: no variant %q or day %q", ErrSpec, variant, day)
	}
	r, err := simulation.Run(s.config(v, d, seed))
	return ResultOf(&r), err
}

func (s *Spec) find(variant, day string) (v Variant, d Scenario) {
	for _, x := range s.Variants {
		if x.Name == variant {
			v = x
		}
	}
	for _, x := range s.Scenarios {
		if x.Name == day {
			d = x
		}
	}
	return v, d
}

// read reads the cells of a results file. A last line that was cut off by a kill is passed over.
func readResults(path string) (map[string]Cell, error) {
	known := map[string]Cell{}
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return known, nil
	}
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer f.Close()
	in := bufio.NewReader(f)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return known, nil
		}
		var c Cell
		if json.Unmarshal([]byte(strings.TrimSpace(line)), &c) == nil && c.Key != "" {
			known[c.Key] = c
		}
	}
}

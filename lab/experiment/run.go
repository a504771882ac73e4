package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"

	"havencart/lab/simulation"
)

// Run runs all cells that are not yet stored in the file named results, up to parallel cells at a time, and appends
// each completed cell to that file, so that an interrupted experiment resumes. It returns all cells, and the error of
// ctx if ctx has ended. report is called with one line of progress at a time.
func (s *Spec) Run(ctx context.Context, results string, parallel int, report func(string)) ([]Cell, error) {
	known, err := readResults(results)
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(results, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer func() { _ = file.Close() }()
	cells := s.cells()
	var pending []*Cell
	for i := range cells {
		if stored, found := known[cells[i].Key]; found {
			cells[i] = stored
			continue
		}
		pending = append(pending, &cells[i])
	}
	report(fmt.Sprintf("%d runs, %d of them known from %s", len(cells), len(cells)-len(pending), results))
	w := &resultWriter{file: file, report: report}
	s.runCells(ctx, pending, parallel, w)
	if w.err != nil {
		return nil, w.err
	}
	return cells, ctx.Err()
}

// runCells runs cells, up to parallel at a time, until ctx ends. Cells that are not completed by then are not written.
func (s *Spec) runCells(ctx context.Context, pending []*Cell, parallel int, w *resultWriter) {
	var tasks sync.WaitGroup
	next := make(chan *Cell)
	for range parallel {
		tasks.Go(func() {
			for c := range next {
				s.runCell(ctx, c)
				w.write(ctx, c)
			}
		})
	}
	sendCells(ctx, pending, next)
	tasks.Wait()
}

// sendCells sends cells to next until ctx ends, and then closes next.
func sendCells(ctx context.Context, cells []*Cell, next chan<- *Cell) {
	defer close(next)
	for _, c := range cells {
		select {
		case next <- c:
		case <-ctx.Done():
			return
		}
	}
}

// resultWriter appends cells to a results file. It is safe for concurrent use.
type resultWriter struct {
	mu     sync.Mutex
	file   *os.File
	report func(string)
	err    error // joined errors of all writes
}

// write appends a cell to the file and reports it as progress. It does nothing if ctx has ended, because the run of the
// cell may have been interrupted then.
func (w *resultWriter) write(ctx context.Context, c *Cell) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	line, err := json.Marshal(c)
	if err == nil {
		_, err = w.file.Write(append(line, '\n'))
	}
	w.err = errors.Join(w.err, err)
	w.report(fmt.Sprintf("%-12s %-12s seed %d: %.3f %s", c.Variant, c.Scenario, c.Seed, c.Service(), c.Failed))
}

// runCell runs one cell, in this process or, if the variant names a program, by that program. A failed run is
// recorded in the cell's Failed field and does not stop the other runs.
func (s *Spec) runCell(ctx context.Context, cell *Cell) {
	variant, scenario := s.find(cell.Variant, cell.Scenario)
	if variant.Program == "" {
		cell.Result, cell.Failed = runInProcess(s.config(variant, scenario, cell.Seed))
		return
	}
	output, err := exec.CommandContext(ctx, variant.Program, "cell", s.Path, cell.Variant, cell.Scenario, fmt.Sprint(cell.Seed)).Output()
	var stored StoredResult
	if err == nil {
		err = json.Unmarshal(output, &stored)
	}
	cell.Result = stored.Result()
	if err != nil {
		cell.Failed = err.Error()
	}
}

// runInProcess runs a simulation in this process. failed is the text of an error or of a panic, empty if there was
// none.
func runInProcess(cfg simulation.Config) (r simulation.Result, failed string) {
	defer func() {
		if reason := recover(); reason != nil {
			failed = fmt.Sprint("panic: ", reason)
		}
	}()
	r, err := simulation.Run(cfg)
	if err != nil {
		return r, err.Error()
	}
	return r, ""
}

// RunCell runs a single cell, given by its names and seed, and returns the result in the stored form. Another build of
// this program calls it through `havencart cell` for a variant whose program is this build.
func (s *Spec) RunCell(variant, scenario string, seed uint64) (StoredResult, error) {
	v, sc := s.find(variant, scenario)
	if v.Name == "" || sc.Name == "" {
		return StoredResult{}, fmt.Errorf("%w: no variant %q or day %q", ErrSpec, variant, scenario)
	}
	r, err := simulation.Run(s.config(v, sc, seed))
	return ResultOf(&r), err
}

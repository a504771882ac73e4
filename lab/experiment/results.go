package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// readResults reads the cells of a results file and returns them by key. It returns an empty map if the file does not
// exist. It skips lines that are not cells, and a last line without a line end, which was cut off when the experiment
// was interrupted.
func readResults(path string) (map[string]Cell, error) {
	cells := map[string]Cell{}
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return cells, nil
	}
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer func() { _ = file.Close() }()
	in := bufio.NewReader(file)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return cells, nil
		}
		var c Cell
		if json.Unmarshal([]byte(strings.TrimSpace(line)), &c) == nil && c.Key != "" {
			cells[c.Key] = c
		}
	}
}

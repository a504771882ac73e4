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

// readResults reads the cells of a results file, by their keys. A file that does not exist has none. A last line that
// was cut off when the experiment was interrupted is passed over, and so is what is no cell.
func readResults(path string) (map[string]Cell, error) {
	known := map[string]Cell{}
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return known, nil
	}
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer func() { _ = file.Close() }()
	in := bufio.NewReader(file)
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

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// callOptions holds the flags of the call command. Options without a value are not sent with the request.
type callOptions struct {
	address string
	class   string
	tenant  string
	key     string
	timeout time.Duration
}

// callCommand returns the command that sends one request to a front end.
func callCommand() *cobra.Command {
	options := callOptions{}
	cmd := &cobra.Command{
		Use:   "call FUNCTION [BODY]",
		Short: "Send one request and print its response",
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			function, body := args[0], ""
			if len(args) == 2 {
				body = args[1]
			}
			return sendCall(cmd, options, function, body)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.address, "at", "127.0.0.1:8080", "HOST:PORT of the front end")
	flags.StringVar(&options.class, "class", "", "class of the request")
	flags.StringVar(&options.tenant, "tenant", "", "tenant of the request")
	flags.StringVar(&options.key, "key", "", "idempotency key of the request")
	flags.DurationVar(&options.timeout, "patience", 0, "timeout of the request; 0: the timeout of its class")
	return cmd
}

// request returns the HTTP request for the flags.
func (o callOptions) request(cmd *cobra.Command, function, body string) (*http.Request, error) {
	url := "http://" + o.address + "/call/" + function
	request, err := http.NewRequestWithContext(cmd.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, usageError(err)
	}
	headers := map[string]string{"Call-Class": o.class, "Call-Tenant": o.tenant, "Idempotency-Key": o.key}
	for name, value := range headers {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	if o.timeout > 0 {
		request.Header.Set("Call-Patience", o.timeout.String())
	}
	return request, nil
}

// sendCall sends the request. It prints the response body to standard output and the outcome headers to standard error.
// It returns an error unless the request was served, so that the exit code shows whether the request succeeded.
func sendCall(cmd *cobra.Command, options callOptions, function, body string) error {
	request, err := options.request(cmd, function, body)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the body was read to the end or is no longer needed
	for _, name := range []string{"Call-Outcome", "Call-Worker", "Call-Attempts", "Retry-After-Ms"} {
		if value := response.Header.Get(name); value != "" {
			output{os.Stderr}.printf("%s: %s\n", name, value)
		}
	}
	if _, err := io.Copy(cmd.OutOrStdout(), response.Body); err != nil {
		return fmt.Errorf("response is incomplete: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("request was not served: %s", response.Status)
	}
	return nil
}

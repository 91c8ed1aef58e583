package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	host       = "nony24.example"
	clientWait = 3 * time.Second
)

// queue is a route as the configuration has it.
type queue struct{ name, prefix string }

// step is one step of a job, as clients send it.
type step struct {
	Count       int  `json:"count"`
	CPU         int  `json:"cpu"`
	Memory      int  `json:"mem_mb"`
	GPU         int  `json:"gpu"`
	Estimate    int  `json:"estimate_ms"`
	LongRunning bool `json:"long_running,omitempty"`
	Gang        bool `json:"gang,omitempty"`
}

type jobBody struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// client stands in for the clients of one tenant.
type client struct {
	key    string
	http   *http.Client
	record *record
}

func newClient(key string, record *record) *client {
	return &client{key: key, http: &http.Client{Timeout: clientWait}, record: record}
}

// call makes one call to a daemon. The status is 0 if there was no answer.
func (client *client) call(daemon *daemon, method, path string, body any) (int, string) {
	content := ""
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		content = string(encoded)
	}
	request, err := http.NewRequest(method, "http://"+daemon.frontend+path, strings.NewReader(content))
	if err != nil {
		panic(err)
	}
	request.Host = host
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set("Authorization", "Token "+client.key)
	request.Header.Set("Deadline-Ms", fmt.Sprint(clientWait.Milliseconds()))
	response, err := client.http.Do(request)
	if err != nil {
		client.record.write("%s %s at %s: no answer (%v)", method, path, daemon.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		client.record.write("%s %s at %s: answer broken off (%v)", method, path, daemon.name, err)
		return 0, ""
	}
	client.record.write("%s %s at %s: %d %s", method, path, daemon.name, response.StatusCode,
		strings.TrimSpace(string(answer)))
	return response.StatusCode, string(answer)
}

// submit hands a job in until it is accepted.
func (client *client) submit(daemon *daemon, queue queue, id string, job jobBody) error {
	for attempt := 0; attempt < 5; attempt++ {
		if status, _ := client.call(daemon, http.MethodPost, queue.prefix+id, job); status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s is not accepted", id)
}

// state asks for the state of a job. It is "" if the answer is no state.
func (client *client) state(daemon *daemon, queue queue, id string) (status int, state string) {
	status, answer := client.call(daemon, http.MethodGet, queue.prefix+id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(answer), &body) == nil {
		return status, body.State
	}
	return status, ""
}

// pending asks for the number of jobs of a queue that have not begun. It is -1 if the answer has none.
func (client *client) pending(daemon *daemon, queue queue) int {
	status, answer := client.call(daemon, http.MethodGet, queue.prefix, nil)
	var body struct {
		Pending *int `json:"pending"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(answer), &body) == nil && body.Pending != nil {
		return *body.Pending
	}
	return -1
}

package main

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const settings = `{"balancers":1,"zone":"n","discovery":"push","grades":[{"name":"a","aim_s":0.4,"deadline_s":1,` +
	`"gain":1,"effect":"free","group":"all"}],"policy_limits":{"max_attempts":2,"max_retry_after_s":1}}`

// buildSimhost returns the path of a freshly built simhost.
func buildSimhost(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "simhost")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

func runSimhost(t *testing.T, bin, in string) (out, problem string, err error) {
	t.Helper()
	cmd := exec.Command(bin)
	var o, e bytes.Buffer
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(in), &o, &e
	err = cmd.Run()
	return o.String(), e.String(), err
}

func TestConversation(t *testing.T) {
	bin := buildSimhost(t)
	in := `["round",10,1]
["your_turn"]
["round",10.5,2]
["create",0,1,` + settings + `]
["create",1,2,` + settings + `]
["targets",0,"warm_copy",1,[[1,"n",0,"k",null,"active",77]]]
["demand",0,"r-1","a",null,null,1]
["demand",1,"r-2","a",null,null,1]
["your_turn"]
["round",10.6,3]
["ended",0,"r-1",0,77,0.1,false,"Failed",null]
["power_off",1]
["your_turn"]
["round",11,4]
["targets",0,"incr",2,[[1,"n",0,"k",null,"leaving",77]]]
["demand",0,"r-3","a",null,null,1]
["your_turn"]
`
	want := `["done",1]
["notify_me",0,"tick",10.75]
["relay",0,"r-1",77,1]
["say_no",1,"r-2",0.1]
["notify_me",1,"tick",10.75]
["done",2]
["say_no",0,"r-1",0.1]
["done",3]
["say_no",0,"r-3",0.1]
["done",4]
`
	out, problem, err := runSimhost(t, bin, in)
	if err != nil || problem != "" || out != want {
		t.Errorf("error %v, stderr %q, got\n%s\nwant\n%s", err, problem, out, want)
	}
	for in, want := range map[string]string{
		"[\"round\",1,7]\n[\"odd\",1]\n":                          `batch 7: unknown message "odd"`,
		"[\"round\",1,7]\n[\"demand\",0,\"r\",\"a\",null,null]\n": "batch 7: demand: grace_s: missing",
		"[\"round\",1,7]\n[\"tick_due\",4,\"x\"]\n":               "batch 7: instance 4 was never created",
		"[\"round\",1,7]\n[\"round\",1,8]\n":                      "batch 7: message out of place",
		"[\"your_turn\"]\n":                                       "message out of place",
		"[\"round\",1,7]\n":                                       "batch 7: input ended inside the batch",
		"[\"round\",1,7]\n[\"create\",0,1,{\"balancers\":1}]\n":   "batch 7: create: policy: Classes",
		"[\"round\",1,7]\n[\"create\",0,1,{\"balancers\":0,\"grades\":[{\"name\":\"a\",\"effect\":\"free\"}]}]\n": "Nodes",
	} {
		_, problem, err := runSimhost(t, bin, in)
		if err == nil || !strings.Contains(problem, want) || strings.Count(problem, "\n") != 1 {
			t.Errorf("%q: error %v, stderr %q, want one line with %q", in, err, problem, want)
		}
	}
}

// A panic in the policy becomes the instance's fault report.
func TestPanicReportsInstanceFault(t *testing.T) {
	var h host
	h.guard(5, func() { panic("broken") })
	if got := string(h.reply); got != "[\"give_in\",5,\"broken\"]\n" {
		t.Errorf("got %q", got)
	}
}

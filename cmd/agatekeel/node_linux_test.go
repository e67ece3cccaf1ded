package main

import (
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/platform"
)

// TestChangeOfSettingsDuringStartEndsProcess guards against a process that is killed by the
// signal that its settings file has changed, since it was still reading it.
func TestChangeOfSettingsDuringStartEndsProcess(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "settings.toml")
	is.NoErr(syscall.Mkfifo(file, 0o600))
	t.Setenv(platform.SettingsVariable, file)
	ended := make(chan string)
	go func() {
		_, _, stderr := agatekeel("sidecar")
		ended <- stderr
	}()
	f, err := os.OpenFile(file, os.O_WRONLY, 0) // returns once the file is being read
	is.NoErr(err)
	runtime.LockOSThread() // a signal to the calling thread is there when the call returns, one to the process may come later
	defer runtime.UnlockOSThread()
	is.NoErr(syscall.Tgkill(os.Getpid(), syscall.Gettid(), syscall.SIGHUP))
	_, err = f.WriteString("no settings")
	is.NoErr(err)
	is.NoErr(f.Close())
	is.True(strings.Contains(<-ended, file))
}

package scenario

import (
	"bufio"
	"fmt"
	"html"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
)

var hiddenField = regexp.MustCompile(`<input type="hidden" name="([a-z]+)" value="([^"]*)">`)

// submitViaConsole submits a document through the forms of a console process, as
// an operator does: first the review of the changes, then the submission.
func (c *cluster) submitViaConsole(document string) error {
	file := filepath.Join(c.dir, "settings", "console.ini")
	text := fmt.Sprintf("[platform]\naddress = %s\n", c.platformURL())
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return err
	}
	cmd := exec.Command("celeryhook", "console", "--settings", file)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	defer func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	}()
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return fmt.Errorf("console: %w", err)
	}
	origin := strings.TrimSuffix(strings.TrimSpace(strings.TrimPrefix(line, "console at ")), "/")
	jar, err := cookiejar.New(nil)
	if err != nil {
		return err
	}
	client := &http.Client{Jar: jar, Timeout: progressTimeout}
	page, err := requestConsolePage(client, origin, nil)
	for _, button := range []string{"review", "submit"} {
		if err != nil {
			return err
		}
		form := url.Values{button: {"1"}, "document": {strings.ReplaceAll(document, "\n", "\r\n")}}
		for _, m := range hiddenField.FindAllStringSubmatch(page, -1) {
			form.Set(m[1], html.UnescapeString(m[2]))
		}
		page, err = requestConsolePage(client, origin, form)
	}
	if err == nil && !strings.Contains(page, "Accepted as version") {
		err = fmt.Errorf("console did not accept the policy: %s", page)
	}
	return err
}

// requestConsolePage loads the console's page, or posts the form if it is not nil.
func requestConsolePage(client *http.Client, origin string, form url.Values) (string, error) {
	req, err := http.NewRequest(http.MethodGet, origin+"/", nil)
	if form != nil {
		req, err = http.NewRequest(http.MethodPost, origin+"/draft", strings.NewReader(form.Encode()))
	}
	if err != nil {
		return "", err
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	req.Header.Set("Origin", origin)
	res, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

package cli

import "fmt"

// completionBash is the command "completion bash".
type completionBash struct {
	*app `no-flag:"yes"`
}

// bashCompletionScript runs the tool with GO_FLAGS_COMPLETION set, which makes the
// flags parser print the candidates.
const bashCompletionScript = `_parsleypier() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _parsleypier parsleypier
`

// Execute implements flags.Commander.
func (c *completionBash) Execute([]string) error {
	_, err := fmt.Fprint(c.stdout, bashCompletionScript)
	return err
}

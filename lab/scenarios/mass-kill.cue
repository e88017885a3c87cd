means: "seven in ten are killed at once: the others go on among themselves"
steps: [{at: "1s", do: "kill", who: "most"}]
mayLose: "most"

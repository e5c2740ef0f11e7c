package node

// These packages register the plug-ins of every node in their init functions.
import (
	_ "github.com/dogwoodhatch/dogwoodhatch/platform"
	_ "github.com/dogwoodhatch/dogwoodhatch/plugin/admin"
	_ "github.com/dogwoodhatch/dogwoodhatch/plugin/backend"
	_ "github.com/dogwoodhatch/dogwoodhatch/plugin/caller"
	_ "github.com/dogwoodhatch/dogwoodhatch/plugin/directory"
	_ "github.com/dogwoodhatch/dogwoodhatch/plugin/entry"
	_ "github.com/dogwoodhatch/dogwoodhatch/plugin/ingress"
	_ "github.com/dogwoodhatch/dogwoodhatch/plugin/peer"
	_ "github.com/dogwoodhatch/dogwoodhatch/plugin/quarantine"
	_ "github.com/dogwoodhatch/dogwoodhatch/plugin/quota"
	_ "github.com/dogwoodhatch/dogwoodhatch/plugin/target"
)

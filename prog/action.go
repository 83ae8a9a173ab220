package prog

import "github.com/buckthorntide/buckthorntide/store"

type (
	// Ticket names one request that a Core has yet to answer.
	Ticket int64

	// Action is what a Core wants done; exactly one field is set.
	Action struct {
		Reply   *Reply
		Load    *Load
		Commit  *Commit
		Release *Release
	}

	// Reply answers the request of a ticket; one of the others is set.
	Reply struct {
		Ticket Ticket
		Open   *OpenReply
		Begin  *BeginReply
		End    *EndReply
		Close  *CloseReply
	}

	// Load asks for a family's rows; the answer goes to Core.Loaded.
	Load struct {
		Root string
	}

	// Commit asks for the objects to be put and then the transaction; the
	// outcome goes to Core.Committed.
	Commit struct {
		Root    string
		Objects []Object
		Txn     store.Txn
	}

	// Object is a body that is too large for a row.
	Object struct {
		Name string
		Body []byte
	}

	// Release says that a program no longer needs its cache on the engines.
	Release struct {
		Program string
		Engines []string
	}

	// LoadResult is what was read of a family.
	LoadResult struct {
		// Row is the family's row; its version is zero if there is none.
		Row store.Row
		// Turns are the family's turn rows in key order.
		Turns []store.Row
		// Bodies are the objects that turn rows refer to, by name.
		Bodies map[string][]byte
	}
)

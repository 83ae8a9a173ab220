package prog

import "github.com/buckthorntide/buckthorntide/store"

type (
	// Ticket identifies one unanswered request to a Core.
	Ticket int64

	// Action is an effect that a Core requests; exactly one field is set.
	Action struct {
		Reply   *Reply
		Load    *Load
		Commit  *Commit
		Release *Release
	}

	// Reply answers the request of a ticket; exactly one of the other fields is
	// set.
	Reply struct {
		Ticket Ticket
		Open   *OpenReply
		Begin  *BeginReply
		End    *EndReply
		Close  *CloseReply
	}

	// Load requests a read of a family's rows; the result goes to Core.Loaded.
	Load struct {
		Root string
	}

	// Commit requests a write of the objects and then of the transaction; the
	// outcome goes to Core.Committed.
	Commit struct {
		Root    string
		Objects []Object
		Txn     store.Txn
	}

	// Object is a body that is too large for a row and stored on its own.
	Object struct {
		Name string
		Body []byte
	}

	// Release lists the engines that may evict a program's prefix cache.
	Release struct {
		Program string
		Engines []string
	}

	// LoadResult holds the stored state of a family.
	LoadResult struct {
		// Row is the family's row; its version is zero if the row doesn't exist.
		Row store.Row
		// Turns are the family's turn rows in key order.
		Turns []store.Row
		// Bodies maps names to the objects that turn rows refer to.
		Bodies map[string][]byte
	}
)

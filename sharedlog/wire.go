package sharedlog

// The paths of the log service's HTTP interface.
const (
	RecordsPath = "/v1/records"
	BoundsPath  = "/v1/bounds"
)

// AppendReply is the response to a POST on RecordsPath whose body is the record's
// data. Status 503 means that nothing was written, 413 that the record is too
// large.
type AppendReply struct {
	Offset Offset `json:"offset"`
}

// ReadQuery contains the query parameters of a GET on RecordsPath. Status 410
// means that the log no longer holds the records.
type ReadQuery struct {
	From  Offset `url:"from"`
	Limit int    `url:"limit"`
}

// ReadReply is the response to a GET on RecordsPath.
type ReadReply struct {
	Records []Record `json:"records"`
}

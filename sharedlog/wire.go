package sharedlog

// The paths of the log service's HTTP interface.
const (
	RecordsPath = "/v1/records"
	BoundsPath  = "/v1/bounds"
)

// AppendReply answers POST on RecordsPath, whose body is the record's data.
// Status 503 says that nothing was written, 413 that the record is too large.
type AppendReply struct {
	Offset Offset `json:"offset"`
}

// ReadQuery holds the parameters of GET on RecordsPath. Status 410 says that
// the records are no longer kept.
type ReadQuery struct {
	From  Offset `url:"from"`
	Limit int    `url:"limit"`
}

// ReadReply answers GET on RecordsPath.
type ReadReply struct {
	Records []Record `json:"records"`
}

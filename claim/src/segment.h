#ifndef CLAIM_SEGMENT_H
#define CLAIM_SEGMENT_H

#include <primroselead/claim.h>

/** First line of a segment. */
struct segment_header {
	int64_t sequence;
	/** No more records may be added. */
	int sealed;
	int64_t written_ms;
	int nrecord;
};

/** Writes a segment; returns its length, or 0 if it has no room. */
size_t segment_format(char *text, size_t size, const struct segment_header *h,
		      const struct claim_record *r);

/** Reads a segment with at most CLAIM_SEGMENT_RECORDS_MAX records. */
enum prl_code segment_parse(const struct claim_segment *s,
			    struct segment_header *h, struct claim_record *r,
			    struct prl_error *err);

#endif

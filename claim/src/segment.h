#ifndef CLAIM_SEGMENT_H
#define CLAIM_SEGMENT_H

#include <primroselead/claim.h>

/** Fields of a segment's first line. */
struct segment_header {
	/** Number of the segment, counted from 0 for each shard; its slot is
	 * the remainder by CLAIM_SEGMENT_SLOTS. */
	int64_t sequence;
	/** No more records may be added. */
	int sealed;
	/** Wall clock of the write, in milliseconds since 1970. */
	int64_t written_ms;
	int nrecord;
};

/** Formats a segment. Returns its length in bytes, or 0 if "size" is too
 * small. */
size_t segment_format(char *text, size_t size, const struct segment_header *h,
		      const struct claim_record *r);

/** Parses a segment into its header and at most CLAIM_SEGMENT_RECORDS_MAX
 * records. Returns PRL_OK or PRL_E_PROTOCOL. */
enum prl_code segment_parse(const struct claim_segment *s,
			    struct segment_header *h, struct claim_record *r,
			    struct prl_error *err);

#endif

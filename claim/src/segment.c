#include "segment.h"
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Bytes of one record's line and a terminating zero byte. */
#define RECORD_BYTES_MAX 57

/* Bytes of the longest first line. */
#define HEADER_BYTES_MAX 96

size_t segment_format(char *text, size_t size, const struct segment_header *h,
		      const struct claim_record *r)
{
	size_t len;

	if (size < HEADER_BYTES_MAX + (size_t)h->nrecord * RECORD_BYTES_MAX)
		return 0;
	len = (size_t)snprintf(text, size, "%" PRId64 " %d %" PRId64 " %d\n",
			       h->sequence, h->sealed, h->written_ms,
			       h->nrecord);
	for (int i = 0; i < h->nrecord; i++)
		len += (size_t)snprintf(text + len, size - len,
					"%016" PRIx64 "%016" PRIx64
					" %016" PRIx64 " %d %03d\n",
					r[i].key.high, r[i].key.low, r[i].token,
					(int)r[i].status, r[i].http_status);
	return len;
}

static int parse_record(const char *line, struct claim_record *r)
{
	int status;

	if (sscanf(line, "%16" SCNx64 "%16" SCNx64 " %16" SCNx64 " %d %d",
		   &r->key.high, &r->key.low, &r->token, &status,
		   &r->http_status) != 5)
		return -1;
	if (status < CLAIM_OPEN || status > CLAIM_RELEASED)
		return -1;
	r->status = (enum claim_status)status;
	return 0;
}

enum prl_code segment_parse(const struct claim_segment *s,
			    struct segment_header *h, struct claim_record *r,
			    struct prl_error *err)
{
	const char *line = strchr(s->text, '\n');

	if (!line ||
	    sscanf(s->text, "%" SCNd64 " %d %" SCNd64 " %d", &h->sequence,
		   &h->sealed, &h->written_ms, &h->nrecord) != 4 ||
	    h->nrecord < 0 || h->nrecord > CLAIM_SEGMENT_RECORDS_MAX ||
	    h->sequence < 0 || h->sequence % CLAIM_SEGMENT_SLOTS != s->slot)
		return prl_error_set(
			err, PRL_E_PROTOCOL,
			"claim segment %d: first line is not valid", s->slot);
	for (int i = 0; i < h->nrecord; i++) {
		if (!line || parse_record(line + 1, &r[i]))
			return prl_error_set(
				err, PRL_E_PROTOCOL,
				"claim segment %d: record %d is not "
				"valid",
				s->slot, i);
		line = strchr(line + 1, '\n');
	}
	return PRL_OK;
}

#include <primroselead/platform.h>
#include <primroselead/response_head.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Passes a line in a block of its own, so that reading beyond it is found. */
static enum response_line read_line(struct response_head *h,
				    struct fleet_response_meta *meta,
				    const uint8_t *data, size_t len)
{
	char *line = malloc(len + 1);
	enum response_line what;

	if (!line)
		abort();
	memcpy(line, data, len);
	line[len] = 0;
	what = response_head_read(h, line, len);
	if (what == RESPONSE_STATUS_LINE)
		platform_response_meta_init(meta);
	if (what == RESPONSE_FIELD)
		platform_response_meta_parse_header(line, meta);
	free(line);
	return what;
}

static void check_invariants(const struct response_head *h,
			     const struct fleet_response_meta *meta)
{
	int is_complete = h->stage == RESPONSE_IN_BODY;

	if (is_complete != !response_head_result(h, CURLE_OK))
		abort();
	if (is_complete && (h->status < 200 || h->status > 599))
		abort();
	if ((h->length >= 0) != (h->framing == RESPONSE_WITH_LENGTH) &&
	    h->stage != RESPONSE_MALFORMED)
		abort();
	if (memchr(meta->request_id, 0, sizeof(meta->request_id)) == NULL)
		abort();
}

/* Reads the lines of any input. A response is complete only by a final head,
 * and what makes it malformed stays. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct fleet_response_meta meta;
	struct response_head h;
	int bad = 0;

	response_head_init(&h);
	platform_response_meta_init(&meta);
	while (size) {
		const uint8_t *end = memchr(data, '\n', size);
		size_t len = end ? (size_t)(end - data) + 1 : size;
		enum response_line what = read_line(&h, &meta, data, len);

		if (bad && what != RESPONSE_BAD_LINE)
			abort();
		bad = what == RESPONSE_BAD_LINE;
		check_invariants(&h, &meta);
		data += len;
		size -= len;
	}
	return 0;
}

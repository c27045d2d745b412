#ifndef STORE_TEST_ANSWERS_H
#define STORE_TEST_ANSWERS_H

#include <primroselead/response_head.h>
#include <primroselead/store.h>

/* Answers of the store, one for each call and status, framed in each way. */

#define ANSWER_ERA 12
#define ANSWER_MAX 2048

/** A call and the answer to it. */
struct answer_kind {
	const char *name;
	enum store_op op;
	const char *key;
	/** Of the call: revision in ANSWER_ERA, 0 for a new object; and the
	 * value that a write gives, empty to remove the object. */
	int64_t revision;
	const char *value;
	const char *status_line;
	const char *body;
	/** Result of the call for the whole answer. */
	enum prl_code code;
	int nobject;
	/** Result if the answer's length is not given and the body is cut. */
	enum prl_code cut_body_code;
	/** The answer is the second page of a list. */
	int is_second_page;
};

extern const struct answer_kind answer_kinds[];
extern const int answer_nkind;

/** First page of a list of two pages. */
extern const char answer_first_page[];

/** Writes a whole answer. Returns its length; "head_len" is that of its head.
 */
size_t answer_format(const char *status_line, const char *body,
		     enum response_framing framing, char *out,
		     size_t *head_len);

#endif

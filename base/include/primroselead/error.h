#ifndef PRIMROSELEAD_ERROR_H
#define PRIMROSELEAD_ERROR_H

#include <primroselead/codes.h>

/** Size of an error's text in bytes, its end included. */
#define PRL_ERROR_TEXT 512

/** A failure: a numbered code and a text that names what failed. */
struct prl_error {
	enum prl_code code;
	char text[PRL_ERROR_TEXT];
};

/** One row of the table of result codes. */
struct prl_code_info {
	const char *name;
	int exit_status;
	const char *meaning;
};

/** All result codes, by number. */
extern const struct prl_code_info prl_codes[];

/** Rows of prl_codes. */
extern const int prl_codes_count;

/**
 * Fills an error; the text is cut at PRL_ERROR_TEXT. Returns the code, so that
 * a caller may write "return prl_fail(...)". The error may be null.
 */
enum prl_code prl_fail(struct prl_error *err, enum prl_code code,
		       const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** Name of a code; "UNKNOWN" for a number that is not in the table. */
const char *prl_code_name(enum prl_code code);

/** Exit status that the command gives for a code. */
int prl_code_exit(enum prl_code code);

#endif

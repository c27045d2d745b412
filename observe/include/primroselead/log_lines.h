#ifndef PRIMROSELEAD_LOG_LINES_H
#define PRIMROSELEAD_LOG_LINES_H

#include <jansson.h>
#include <stdint.h>
#include <stdio.h>

/* Reads log lines as log_event() writes them. A prefix that a log collector has
 * put before a line is skipped. */

/** Calls "each" for each line of a file that has a JSON object. The object is
 * released afterwards unless "each" takes a reference. */
void log_lines_read(FILE *f, void (*each)(void *ctx, json_t *line), void *ctx);

/** Returns the value of a line's key, or "" if the line has no such string. */
const char *log_line_text(const json_t *line, const char *key);

/** Returns the wall-clock time of a line in ms since 1970, or 0 if it has none.
 */
int64_t log_line_time_ms(const json_t *line);

#endif

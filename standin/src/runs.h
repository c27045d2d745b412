#ifndef STANDIN_RUNS_H
#define STANDIN_RUNS_H

/* Record of the requests that an upstream ran; used by several threads. */

/** Empties the record. */
void runs_init(void);

/** Adds a run of a request, by its id. */
void runs_add(const char *id);

/** Returns "ID TIMES LAST_MS" a line for each request that ran, the time of its
 * last run in ms of Unix time. Free the text with g_free. */
char *runs_format(void);

#endif

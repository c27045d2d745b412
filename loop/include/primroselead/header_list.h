#ifndef PRIMROSELEAD_HEADER_LIST_H
#define PRIMROSELEAD_HEADER_LIST_H

#include <curl/curl.h>

/** Header lines in the form of libcurl's; empty when zeroed. */
struct header_list {
	struct curl_slist *first;
	struct curl_slist *last;
};

/** Appends a copy of a line in constant time, which curl_slist_append() does
 * not: a head may have thousands of lines. Returns 0, or -1 if out of memory.
 */
int header_list_append(struct header_list *l, const char *line);

void header_list_finish(struct header_list *l);

#endif

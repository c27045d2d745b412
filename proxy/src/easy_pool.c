#include "easy_pool.h"

static CURLcode set_receive_buffer(CURL *easy)
{
	return curl_easy_setopt(easy, CURLOPT_BUFFERSIZE,
				EASY_RECEIVE_BUFFER_BYTES);
}

/* libcurl refuses to set the size if the handle still has a buffer, which it
 * keeps if a transfer timed out as its connection began. The default size is
 * then in force, and the buffer too small for it. */
static CURL *take_idle(struct easy_pool *p)
{
	while (p->nidle) {
		CURL *easy = p->idle[--p->nidle];

		curl_easy_reset(easy);
		if (!set_receive_buffer(easy))
			return easy;
		curl_easy_cleanup(easy);
	}
	return NULL;
}

CURL *easy_pool_get(struct easy_pool *p)
{
	CURL *easy = take_idle(p);

	if (easy)
		return easy;
	easy = curl_easy_init();
	if (easy)
		set_receive_buffer(easy);
	return easy;
}

void easy_pool_put(struct easy_pool *p, CURL *easy)
{
	if (p->nidle == EASY_POOL_MAX) {
		curl_easy_cleanup(easy);
		return;
	}
	p->idle[p->nidle++] = easy;
}

void easy_pool_finish(struct easy_pool *p)
{
	while (p->nidle)
		curl_easy_cleanup(p->idle[--p->nidle]);
}

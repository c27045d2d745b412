#include "http.h"
#include <arpa/inet.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

int harness_connect(int port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr))) {
		close(fd);
		return -1;
	}
	return fd;
}

static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct http_response *resp = ctx;
	size_t room = sizeof(resp->body) - 1 - resp->body_len;
	size_t len = size * n < room ? size * n : room;

	memcpy(resp->body + resp->body_len, data, len);
	resp->body_len += len;
	return size * n;
}

static size_t on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct http_response *resp = ctx;

	if (!strncasecmp(data, "Request-Outcome: ", 17))
		sscanf(data + 17, "%15[a-z-]", resp->outcome);
	if (!strncasecmp(data, "Retry-After: ", 13))
		resp->retry_after_s = strtod(data + 13, NULL);
	if (!strncasecmp(data, "X-Server-Stamp: ", 16))
		resp->has_server_stamp = 1;
	if (!strncasecmp(data, "First-Status: ", 14))
		resp->first_status = atoi(data + 14);
	return size * n;
}

static struct curl_slist *build_headers(const struct http_request *req)
{
	struct curl_slist *h = curl_slist_append(NULL, "Expect:");
	char line[8192];

	if (req->host) {
		snprintf(line, sizeof(line), "Host: %s", req->host);
		h = curl_slist_append(h, line);
	}
	if (req->idempotency_key) {
		snprintf(line, sizeof(line), "Idempotency-Key: %s",
			 req->idempotency_key);
		h = curl_slist_append(h, line);
	}
	for (int i = 0; req->headers && req->headers[i]; i++)
		h = curl_slist_append(h, req->headers[i]);
	return h;
}

static size_t on_upload(char *data, size_t size, size_t n, void *ctx)
{
	long long *left = ctx;
	size_t len = size * n;

	if ((long long)len > *left)
		len = (size_t)*left;
	memset(data, 0, len);
	*left -= (long long)len;
	return len;
}

static void set_upload(CURL *easy, const struct http_request *req,
		       long long *left)
{
	*left = req->upload_bytes;
	if (!req->upload_bytes)
		return;
	curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
	curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
			 (curl_off_t)req->upload_bytes);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_upload);
	curl_easy_setopt(easy, CURLOPT_READDATA, left);
	curl_easy_setopt(easy, CURLOPT_MAX_SEND_SPEED_LARGE,
			 (curl_off_t)req->upload_bytes_per_s);
}

struct http_response harness_send_request(const struct http_request *req)
{
	struct curl_slist *h = build_headers(req);
	CURL *easy = curl_easy_init();
	struct http_response resp = {.retry_after_s = -1};
	long long left;
	long status = 0;

	curl_easy_setopt(easy, CURLOPT_URL, req->url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 req->timeout_ms ? req->timeout_ms : 15000L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, h);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &resp);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, &resp);
	if (req->body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, req->body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
				 (long)strlen(req->body));
	}
	set_upload(easy, req, &left);
	if (req->method)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, req->method);
	if (!curl_easy_perform(easy))
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	resp.status = (int)status;
	curl_easy_cleanup(easy);
	curl_slist_free_all(h);
	return resp;
}

struct page {
	char *text;
	size_t size;
	size_t len;
};

static size_t on_page(char *data, size_t size, size_t n, void *ctx)
{
	struct page *p = ctx;
	size_t room = p->size - 1 - p->len;
	size_t len = size * n < room ? size * n : room;

	memcpy(p->text + p->len, data, len);
	p->len += len;
	p->text[p->len] = 0;
	return size * n;
}

int harness_get(const char *url, char *out, size_t size)
{
	struct page page = {.text = out, .size = size};
	CURL *easy = curl_easy_init();
	long status = 0;

	out[0] = 0;
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 15000L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_page);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &page);
	if (!curl_easy_perform(easy))
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	return (int)status;
}

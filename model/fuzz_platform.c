#include <glib.h>
#include <primroselead/inventory.h>
#include <primroselead/platform.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Callers' hosts are compared without a port, so a route with one has none. */
static void expect_route(const struct steer_view *v,
			 const struct steer_route *r)
{
	if (strchr(r->host, ':'))
		return;
	if (!steer_find_route(v, r->host, r->prefix))
		abort();
}

/* A manifest that was read makes a view with which requests can be matched,
 * whatever it holds. */
static void use_manifest(struct fleet_manifest *m,
			 const struct fleet_upstream *upstream)
{
	struct steer_vm vm = {.id = 1, .address = "127.0.0.1:1"};
	struct config_builder b;
	struct inventory k;
	struct steer_view *v;

	config_builder_init(&b);
	inventory_init(&k);
	inventory_set_domain_region(&k, "norte-a", "norte");
	vm.region = config_region_index(&b, "norte");
	vm.domain = config_domain_index(&b, "norte-a");
	k.list_complete = 1;
	if (inventory_install_manifest(&k, m, NULL))
		goto end;
	inventory_update_upstream(&k, upstream, 1000, NULL);
	v = inventory_build_view(&k, &b, &vm, 1, 1, 1000);
	if (v) {
		for (int i = 0; i < v->nroute; i++)
			expect_route(v, &v->route[i]);
		config_view_release(v);
	}
end:
	inventory_finish(&k);
	config_builder_finish(&b);
}

static void read_manifest(const char *text)
{
	struct fleet_upstream upstream = {.instance = "i",
					  .service = "s",
					  .domain = "norte-a",
					  .address = "127.0.0.1:2",
					  .slots = 1,
					  .started_ms = 1};
	struct fleet_manifest m;
	struct prl_error err = {0};

	if (platform_manifest_parse(text, &m, &err)) {
		if (!err.code)
			abort();
		return;
	}
	use_manifest(&m, &upstream);
}

static void read_entry(const char *text)
{
	struct fleet_manifest m = {.version = 1};
	struct fleet_upstream u;

	if (platform_upstream_parse("i", text, &u, NULL))
		return;
	if (u.slots < 1 || !u.address[0])
		abort();
	m.service = calloc(1, sizeof(*m.service));
	if (!m.service)
		abort();
	m.nservice = 1;
	memcpy(m.service[0].name, u.service, sizeof(u.service));
	use_manifest(&m, &u);
}

static void read_vm(const char *text)
{
	struct fleet_vm vm;
	char *again;

	if (platform_vm_parse("v", text, &vm, NULL))
		return;
	again = platform_vm_format(&vm);
	if (!again)
		abort();
	free(again);
}

static void read_page(const char *text, size_t size,
		      enum platform_response_type form)
{
	struct platform_page page;

	if (!platform_page_parse(text, size, form, &page, NULL))
		platform_page_finish(&page);
}

static void read_answer(char *text)
{
	struct fleet_response_meta a;
	char *rest = text;
	char *line;

	platform_response_init(&a);
	while ((line = strsep(&rest, "\n")))
		platform_response_parse_header(line, &a);
	if (a.running >= 0 && a.slots < 1)
		abort();
}

/* Whatever the store or an upstream sends is read or refused. The first byte
 * chooses the reader. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct fleet_bounds bounds;
	char *text;

	if (!size)
		return 0;
	text = g_strndup((const char *)data + 1, size - 1);
	switch (data[0] % 8) {
	case 0:
	case 1:
		read_manifest(text);
		break;
	case 2:
		read_entry(text);
		break;
	case 3:
		read_vm(text);
		break;
	case 4:
		read_page(text, size - 1, PLATFORM_RESPONSE_LIST);
		break;
	case 5:
		read_page(text, size - 1, PLATFORM_RESPONSE_EVENTS);
		break;
	case 6:
		read_answer(text);
		break;
	case 7:
		fleet_bounds_init(&bounds);
		platform_bound_parse(text, &bounds);
		read_page(text, size - 1, PLATFORM_RESPONSE_OBJECT);
		break;
	}
	g_free(text);
	return 0;
}

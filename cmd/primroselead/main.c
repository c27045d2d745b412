#include "command.h"
#include <apr_general.h>
#include <stdio.h>
#include <string.h>

struct subcommand {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
};

static int command_version(int argc, char **argv)
{
	(void)argc;
	(void)argv;
	printf("primroselead %s\n", PRL_VERSION);
	return 0;
}

static const struct subcommand subcommands[] = {
	{"check", command_check, "check service files"},
	{"publish", command_publish, "publish service files"},
	{"status", command_status,
	 "show configuration, state and load of the VMs"},
	{"history", command_history, "list the publications of a service"},
	{"show", command_show, "print a service file as published"},
	{"lookup", command_lookup, "ask a VM which entry VMs to use"},
	{"explain", command_explain,
	 "show from logs how a request was handled"},
	{"quarantine", command_quarantine,
	 "list requests that end upstreams, or clear one"},
	{"version", command_version, "print the version"},
	{0},
};

static int usage(FILE *out)
{
	fprintf(out, "Usage: primroselead SUBCOMMAND [--help] ...\n\n");
	for (const struct subcommand *s = subcommands; s->name; s++)
		fprintf(out, "  %-10s %s\n", s->name, s->help);
	fprintf(out, "\nExit statuses:\n  0 success\n");
	for (int i = 1; i < prl_codes_count; i++)
		fprintf(out, "  %d %s\n", prl_codes[i].exit_status,
			prl_codes[i].meaning);
	return out == stderr ? prl_code_exit_status(PRL_E_USAGE) : 0;
}

int main(int argc, char **argv)
{
	if (argc < 2)
		return usage(stderr);
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h") ||
	    !strcmp(argv[1], "help"))
		return usage(stdout);
	if (apr_initialize())
		return prl_code_exit_status(PRL_E_MEMORY);
	for (const struct subcommand *s = subcommands; s->name; s++)
		if (!strcmp(argv[1], s->name))
			return s->run(argc - 1, argv + 1);
	fprintf(stderr, "primroselead: subcommand \"%s\" does not exist\n",
		argv[1]);
	return usage(stderr);
}

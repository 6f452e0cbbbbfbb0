package eventlog

import "github.com/rs/zerolog"

// Events of the configuration and of the instance list, numbered from 4000.
var (
	ConfigurationAdopted = Event{
		4000, "configuration_adopted", zerolog.InfoLevel,
		"The process applied a newer version of the configuration.", "none",
	}
	ConfigurationRefused = Event{
		4001, "configuration_refused", zerolog.WarnLevel,
		"A newer bundle is malformed, incomplete, corrupt or invalid; the current version stays in force.",
		"Read the reason and publish a complete bundle with a higher version.",
	}
	ConfigurationOlderOffered = Event{
		4002, "configuration_older_offered", zerolog.WarnLevel,
		"The configuration service offers a bundle older than the current version, which stays in force.",
		"To return to the older content, publish it with a higher version.",
	}
	ConfigurationServiceUnreachable = Event{
		4003, "configuration_service_unreachable", zerolog.WarnLevel,
		"The configuration service does not respond; the current version stays in force.",
		"Restore the service before publishing the next version.",
	}
	ConfigurationServiceReachable = Event{
		4004, "configuration_service_reachable", zerolog.InfoLevel,
		"The configuration service responds again.", "none",
	}
	ConfigurationPeersSilent = Event{
		4005, "configuration_peers_silent", zerolog.WarnLevel,
		"No peer responded to the starting process, which uses the version that the configuration service offers.",
		"Check the peer addresses in the settings if other processes are running.",
	}
	InstanceListUnreachable = Event{
		4006, "instance_list_unreachable", zerolog.WarnLevel,
		"The instance list does not respond; the last list stays in use.", "Restore the instance list.",
	}
	InstanceListReachable = Event{
		4007, "instance_list_reachable", zerolog.InfoLevel,
		"The instance list responds again.", "none",
	}
	InstanceListRefused = Event{
		4008, "instance_list_refused", zerolog.WarnLevel,
		"The response of the instance list is malformed or no longer contains any instance; the last list stays in use.",
		"Check the instance list.",
	}
)

func configurationEvents() []Event {
	return []Event{
		ConfigurationAdopted, ConfigurationRefused, ConfigurationOlderOffered,
		ConfigurationServiceUnreachable, ConfigurationServiceReachable, ConfigurationPeersSilent,
		InstanceListUnreachable, InstanceListReachable, InstanceListRefused,
	}
}

package deployer

import "cicadagrade.example/tier"

// recordSeed is the seed from which the records of every deployment are generated.
const recordSeed = 20261204

func deploymentPlans() []deploymentPlan { return []deploymentPlan{associacao(), zorin()} }

func associacao() deploymentPlan {
	return deploymentPlan{
		name:     "associacao",
		portBase: 21000,
		apiPort:  1,
		peerPort: 101,
		dataCentres: []dataCentreDocument{
			{Name: "serra-caxias", Region: "serra"},
			{Name: "litoral-itajai", Region: "litoral"},
			{Name: "oeste-chapeco", Region: "oeste"},
		},
		vmCounts: []int{3, 2, 2},
		profiles: []profilePlan{
			{"gate", tier.Urgent, 1, 400, 2 * tier.Second, 500},
			{"certificate", tier.Urgent, 1, 2 * tier.Second, 5 * tier.Second, 500},
			{"daily", tier.Daily, 0.9, 1 * tier.Second, 10 * tier.Second, 100},
			{"reports", tier.Reports, 0.95, 10 * tier.Second, tier.Minute, 20},
		},
		sets: []setPlan{
			pairedPlan("portao", 20, 0, 0),
			pairedPlan("agenda", 10, 10, 10),
			sharedPlan("contas", 14, []int{3, 2, 2}, 4, 100),
			sharedPlan("frota", 6, []int{1, 1, 1}, 4, 100),
		},
	}
}

func zorin() deploymentPlan {
	return deploymentPlan{
		name:     "zorin",
		portBase: 25000,
		apiPort:  1,
		peerPort: 101,
		dataCentres: []dataCentreDocument{
			{Name: "rogaska-a", Region: "rogaska"},
			{Name: "ljubljana-b", Region: "ljubljana"},
			{Name: "ravne-c", Region: "ravne"},
		},
		vmCounts: []int{3, 2, 2},
		profiles: []profilePlan{
			{"bench", tier.Urgent, 1, 400, 2 * tier.Second, 500},
			{"colour", tier.Urgent, 1, 600, 2 * tier.Second, 500},
			{"dispatch", tier.Daily, 1, 1 * tier.Second, 10 * tier.Second, 100},
			{"order", tier.Daily, 1, 2 * tier.Second, 10 * tier.Second, 100},
			{"reports", tier.Reports, 1, 10 * tier.Second, tier.Minute, 20},
		},
		sets: []setPlan{
			pairedPlan("pec-recepture", 20, 0, 0),
			pairedPlan("lomni-dnevnik", 10, 10, 10),
			sharedPlan("narocila", 6, []int{1, 1, 1}, 6, 50),
			sharedPlan("odprema", 6, []int{1, 1, 1}, 6, 50),
		},
	}
}
